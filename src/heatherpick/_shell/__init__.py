"""Private: network, log, metrics and trace I/O around the reducer."""
