"""The protocol between daemons: messages, framing, peer server and client."""
