"""Decisions about requests, without I/O: quota, queue, choice of upstream, retry."""
