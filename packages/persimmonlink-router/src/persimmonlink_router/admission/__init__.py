"""Admission of requests whose servers have too little room at times."""
