"""Request handling, in two variants; a node uses one of them.

`ingress`, `outbound` and `inbound` use execution tokens for nested calls and grants for
non-idempotent requests; a request ends with an `outcome`. `origin`, `origin_request` and `owner`
attribute nested calls by their expiry and need no grants; a request ends with a `result`.
"""
