"""What follows an attempt: delivery, a retry or a rejection, and a response's end."""
