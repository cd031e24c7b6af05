"""Weight versions: manifests, chunks, transfers and the gate's versions."""
