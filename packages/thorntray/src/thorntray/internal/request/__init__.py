"""Request handling, in two variants that a node is built from.

`ingress`, `outbound` and `inbound` use execution tokens for nested calls and grants for
non-idempotent requests; a request ends with an `outcome`. `origin`, `origin_request` and `owner`
attribute nested calls by their expiry and need no grants; a request ends with a `result`.
"""
