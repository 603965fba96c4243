"""Programs for building and releasing, never imported by the product."""
