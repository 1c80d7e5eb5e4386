"""Life cycle of requests: queue, attempts, retries, final answer."""
