"""The process itself: its clock and tasks, and the upstream instance beside it."""
