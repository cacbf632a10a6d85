"""Stand-ins and helpers of the review's cases; they need nothing but the standard library."""
