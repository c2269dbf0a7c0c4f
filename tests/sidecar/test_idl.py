"""`config check` of Thrift routes against an IDL file."""

from __future__ import annotations

from pathlib import Path

import pytest

from loadbalancer.cli import main

IDL = str(Path(__file__).parents[2] / "loadbalancer" / "examples" / "ledger.thrift")
GOOD = """\
kind = "catalogue"
version = 1
name = "ledger"

[[pools]]
name = "boxes"
protocol = "thrift"
thrift = { form = "compact" }
list = { source = "static", servers = [{ id = "b", address = "127.0.0.1:7001" }] }

[[classes]]
name = "read"
pool = "boxes"
effect = "safe"
aim_ms = 500
give_up_ms = 1000
routes = [{ call = "balance" }, { call = "echo" }]

[[classes]]
name = "move"
pool = "boxes"
effect = "keyed"
key_field = "1.1"
memory_ms = 60000
aim_ms = 500
give_up_ms = 1000
routes = [{ call = "record" }]

[[classes]]
name = "post"
pool = "boxes"
effect = "unsafe"
oneway_ms = 20
aim_ms = 500
give_up_ms = 1000
routes = [{ call = "post" }, { call = "Ledger:post" }, { call = "no*" }]
"""


def check(tmp_path: Path, text: str, capsys: pytest.CaptureFixture[str], *more: str) -> tuple[int, str]:
    path = tmp_path / "catalogue.toml"
    path.write_text(text)
    code = main(["config", "check", str(path), *(more or (IDL,))])
    captured = capsys.readouterr()
    return code, captured.out + captured.err


def test_a_catalogue_that_matches_its_idl_has_no_mistake(tmp_path, capsys):
    assert check(tmp_path, GOOD, capsys)[0] == 0


@pytest.mark.parametrize(
    ("old", "new", "wrong"),
    [
        ('call = "balance"', 'call = "balanec"', "has no method 'balanec'"),
        ('call = "balance"', 'call = "balanec"', "no route matches Ledger:balance"),
        ('call = "Ledger:post"', 'call = "Legder:post"', "has no method 'Legder:post'"),
        ('call = "no*"', 'call = "nothing*"', "no route matches Ledger:note"),
        ('call = "echo"', 'call = "note"', "note of {idl} is oneway, which is never retried"),
        ('key_field = "1.1"', 'key_field = "1.9"', "record of {idl} has no string or number at 1.9"),
        ('key_field = "1.1"', 'key_field = "1"', "record of {idl} has no string or number at 1;"),
        (', { call = "no*" }', "", "no method of class 'post' is oneway"),
    ],
)
def test_contradictions_of_the_idl_are_reported(tmp_path, capsys, old, new, wrong):
    assert GOOD.count(old) == 1
    code, output = check(tmp_path, GOOD.replace(old, new), capsys)
    assert code == 1
    assert wrong.replace("{idl}", IDL) in output


def test_an_unreadable_idl_file_gives_one_error(tmp_path, capsys):
    bad = tmp_path / "bad.thrift"
    bad.write_text("service Ledger {")
    code, output = check(tmp_path, GOOD, capsys, str(bad))
    assert (code, str(bad) in output, "Traceback" in output) == (2, True, False)
    code, output = check(tmp_path, GOOD, capsys, str(tmp_path / "none.thrift"))
    assert code == 2
    assert "No such file" in output


@pytest.mark.parametrize(
    ("old", "new", "wrong"),
    [
        ('routes = [{ call = "record" }]', 'routes = [{ path = "/x" }]', "speaks thrift, not http"),
        ('{ call = "record" }', '{ call = "record", path = "/x" }', "has a path or a call"),
        ('{ call = "record" }', '{ call = "record", methods = ["GET"] }', "belongs to HTTP"),
        ('{ call = "record" }', '{ call = "re cord" }', "is no method, service:method"),
        ('key_field = "1.1"\n', "", "has no key_field"),
        ('key_field = "1.1"', 'key_field = "1.x"', "key_field"),
        ('key_field = "1.1"', 'key_field = "1.1"\nkey_header = "K"', "speaks thrift only"),
        ("oneway_ms = 20", "oneway_ms = 2000", "is over give_up_ms"),
        ('protocol = "thrift"', 'protocol = "http"', "speaks HTTP"),
        ('{ call = "post" }, ', '{ call = "p*" }, { call = "post" }, ', "no request reaches this route"),
        (
            'protocol = "thrift"',
            'protocol = "thrift"\nreport_fields = ["queue"]',
            "no load report comes over Thrift",
        ),
    ],
)
def test_conflicting_thrift_settings_are_reported(tmp_path, capsys, old, new, wrong):
    assert GOOD.count(old) == 1
    code, output = check(tmp_path, GOOD.replace(old, new), capsys)
    assert code == 1
    assert wrong in output


APPLICATION = """\
kind = "application"
version = 1
name = "clerk"
listen = "127.0.0.1:7600"
thrift_listen = "127.0.0.1:7700"
tenant_field = "1.3"
calls = [{ class = "post", rate = 5 }]
"""


def test_a_description_with_thrift_calls_gets_a_thrift_listener(tmp_path, capsys):
    (tmp_path / "catalogue.toml").write_text(GOOD)
    (tmp_path / "clerk.toml").write_text(APPLICATION)
    out = tmp_path / "out.toml"
    files = [str(tmp_path / "catalogue.toml"), str(tmp_path / "clerk.toml")]
    assert main(["config", "write", *files, "--out", str(out)]) == 0, capsys.readouterr().out
    text = out.read_text()
    assert 'protocol = "thrift"' in text
    assert 'tenant_field = "1.3"' in text
    assert text.count("[[listeners]]") == 1
    assert main(["config", "check", str(out)]) == 0


def test_drift_and_explain_support_thrift_routes(tmp_path, capsys):
    (tmp_path / "catalogue.toml").write_text(GOOD)
    (tmp_path / "clerk.toml").write_text(APPLICATION)
    files = [str(tmp_path / "catalogue.toml"), str(tmp_path / "clerk.toml")]
    one, two = tmp_path / "one.toml", tmp_path / "two.toml"
    assert main(["config", "explain", *files]) == 0
    assert 'call = "Ledger:post"' in capsys.readouterr().out.replace("call: ", "call = ").replace("'", '"')
    for path in (one, two):
        assert main(["config", "write", *files, "--output", str(path)]) == 0
    assert main(["config", "drift", str(one), str(two)]) == 0
    two.write_text(two.read_text().replace('form = "compact"', 'form = "binary"'))
    capsys.readouterr()
    assert main(["config", "drift", str(one), str(two)]) == 1
    assert "pools[boxes].thrift.form" in capsys.readouterr().out


def test_thrift_listen_without_a_thrift_call_is_reported(tmp_path, capsys):
    (tmp_path / "catalogue.toml").write_text(
        GOOD.replace('"thrift"\nthrift = { form = "compact" }', '"both"')
        .replace('call = "no*"', 'path = "/n/**"')
        .replace('{ call = "post" }, { call = "Ledger:post" }, ', "")
    )
    (tmp_path / "clerk.toml").write_text(APPLICATION)
    files = [str(tmp_path / "catalogue.toml"), str(tmp_path / "clerk.toml")]
    assert main(["config", "check", *files]) == 1
    assert "no call uses Thrift" in capsys.readouterr().out
