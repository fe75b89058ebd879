"""The router: passes HTTP requests on to backend servers, with their stages."""
