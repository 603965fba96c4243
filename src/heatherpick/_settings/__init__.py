"""Private package; import `heatherpick.settings`."""
