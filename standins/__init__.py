"""Stand-ins for the systems around damaskpoint, for tests and demonstrations.

They serve the protocols of the platform and of the upstreams, simulate the
work, and inject the faults that a control request asks for.
"""
