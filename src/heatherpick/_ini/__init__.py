"""Private package; reads INI files into validated values with their locations."""
