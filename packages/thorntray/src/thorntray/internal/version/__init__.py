"""Versioned configuration: settings documents, the policy, and how a node replaces them."""
