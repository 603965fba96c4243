"""Small stand-ins for the outside systems; never imported by the product."""
