gen: ## regenerate the code from wire/wire.proto
	protoc -I wire --go_out=wire --go_opt=paths=source_relative --connect-go_out=wire --connect-go_opt=paths=source_relative --connect-go_opt=package_suffix="" wire/wire.proto
