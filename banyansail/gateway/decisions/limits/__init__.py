"""Parts of what the whole fleet may use: quotas, retries, limits of upstreams."""
