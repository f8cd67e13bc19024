"""The journal of non-idempotent requests: their intents and outcomes."""
