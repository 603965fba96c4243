"""Small stand-ins for external systems; the product never imports them."""
