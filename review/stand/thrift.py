"""The platform's Thrift, as far as the entries need it: framed `serve` calls of the strict binary protocol."""

import struct


def _text(data):
    return struct.pack(">i", len(data)) + data


def message(seq, fields, body):
    """A `serve` call."""
    out = struct.pack(">I", 0x80010001) + _text(b"serve") + struct.pack(">i", seq)
    out += b"\x0d" + struct.pack(">h", 1) + b"\x0b\x0b" + struct.pack(">i", len(fields))
    out += b"".join(_text(name.encode()) + _text(value.encode()) for name, value in fields.items())
    out += b"\x0b" + struct.pack(">h", 2) + _text(body) + b"\x00"
    return struct.pack(">i", len(out)) + out
