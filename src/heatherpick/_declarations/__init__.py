"""Private package of the declarations; import `heatherpick.declarations`."""
