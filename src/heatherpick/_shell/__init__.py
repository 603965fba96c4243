"""Private package; newcomers need not open it."""
