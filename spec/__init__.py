"""Models of the core protocols, checked by exhaustive state enumeration."""
