"""The store's process: records of lots on disk, served to gateways and other stores."""
