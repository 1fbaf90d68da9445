"""Who is there: the members and how they learn of each other. As long as the process."""
