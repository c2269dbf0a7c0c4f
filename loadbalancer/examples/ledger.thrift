// The ledger service as its boxes speak it over Thrift.

struct Posting {
  1: string id,
  2: string book,
  3: string tenant,
  4: i64 cents,
}

struct Receipt {
  1: string id,
  2: string box,
}

exception Declined {
  1: string reason,
}

service Ledger {
  i64 balance(1: string book),
  Receipt post(1: Posting posting) throws (1: Declined declined),
  Receipt record(1: Posting posting),
  oneway void note(1: Posting posting),
  string echo(1: string text),
}
