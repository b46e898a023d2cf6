"""The demonstration: the main job on stand-ins, as separate processes."""
