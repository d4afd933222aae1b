"""Reports: metrics, status and service-level burn."""
