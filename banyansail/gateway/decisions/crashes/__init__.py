"""Requests and parts of prompts that crash upstreams."""
