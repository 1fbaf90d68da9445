"""The operators' command line of thorntray. Run it with `thorntrayctl`."""
