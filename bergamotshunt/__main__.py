"""Entry point of ``python -m bergamotshunt``."""

from bergamotshunt.cli import main

if __name__ == '__main__':
    main()
