"""The agent role: the gate in front of one endpoint."""
