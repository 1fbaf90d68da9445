"""Command line tool for operators of thorntray, installed as `thorntrayctl`."""
