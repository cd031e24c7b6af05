"""Parts of the scripts of this review: processes, workers and consumers."""
