"""Store process: records of batch jobs on disk, served to gateways and other stores."""
