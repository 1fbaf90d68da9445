"""Measurements with real processes on this machine."""
