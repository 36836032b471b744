# Adds pools for methods of the platform's JSON: hollystage serve --config JSON --plan THIS_FILE
pool("quotes", methods = ["rate-lookup"], guaranteed = 30%, heir = "holds")
pool("holds", methods = ["car-hold"], guaranteed = 30%)
reserve(running = 5%, memory = 5%, calls = 5%)
ledger("main", "127.0.0.1:7700")
limit("main", policy = "aimd", least = 1, most = 60)
