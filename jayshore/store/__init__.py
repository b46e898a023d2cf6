"""The platform's store and instance list, and how lost answers are settled."""
