"""Demonstration that runs on one machine."""
