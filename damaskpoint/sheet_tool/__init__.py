"""The operators' commands on the accepted configuration."""
