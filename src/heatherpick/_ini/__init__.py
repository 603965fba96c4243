"""Private package; reads INI files into checked values with their places."""
