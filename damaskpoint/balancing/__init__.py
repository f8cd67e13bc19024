"""Load balancing: chooses runners and limits the requests sent to them."""
