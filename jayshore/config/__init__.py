"""The configuration that operators apply: model, checks, keys, snapshots."""
