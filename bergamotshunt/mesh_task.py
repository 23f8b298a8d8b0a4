"""Base of the tasks of a daemon in a mesh."""

from bergamotshunt.kernel import Context, Task
from bergamotshunt.mesh_settings import MeshSettings


class MeshTask(Task):
    """A task that knows the settings of its daemon's place in the mesh."""

    def __init__(self, context: Context) -> None:
        """Create the task.

        Raises:
            ValueError: The context has no settings of a mesh.
        """
        super().__init__(context)
        if context.mesh is None:
            raise ValueError('the daemon has no settings of a mesh')
        self.mesh: MeshSettings = context.mesh
