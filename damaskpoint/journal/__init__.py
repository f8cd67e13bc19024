"""The journal of non-idempotent requests: intents and outcomes."""
