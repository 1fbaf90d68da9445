"""Group membership: records of the nodes, failure detection and gossip over UDP."""
