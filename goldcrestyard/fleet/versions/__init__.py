"""Weight versions of models: replicated state and loading onto engines."""
