"""Gateway: routes callers' requests and streams to targets."""
