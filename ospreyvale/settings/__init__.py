"""What the program is told: the platform's configuration and the file of our own."""
