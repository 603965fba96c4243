"""Launcher of the demonstration on one machine."""
