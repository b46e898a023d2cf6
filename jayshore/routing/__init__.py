"""Routing of requests to the slots of a failure domain's executors."""
