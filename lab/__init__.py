"""Stand-ins and experiments: impaired links, devices, and what is measured with them.  Nothing here is in service."""
