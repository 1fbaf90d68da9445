"""Request handling: outcomes, deadlines, retries, grants, and the caller and owner paths."""
