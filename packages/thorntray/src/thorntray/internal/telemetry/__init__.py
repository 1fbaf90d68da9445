"""What an operator sees: numbered events and metrics."""
