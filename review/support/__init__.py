"""Stand-ins for the clients, workers, store and links around the node processes of a case."""
