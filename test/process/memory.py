"""Memory of a process, as the kernel counts it."""


def peak_mb(process):
    """The most that was resident at one time; what sockets hold is not in it."""
    with open(f"/proc/{process.child.pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0
