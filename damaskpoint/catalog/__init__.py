"""Routes, services and runners, as read from the platform's store."""
