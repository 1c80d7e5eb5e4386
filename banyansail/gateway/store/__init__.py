"""What a router follows in the platform's store."""
